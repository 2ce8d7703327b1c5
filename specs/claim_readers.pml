/*
 * Two readers that see different records of a claim stream.
 *
 * This is the model of claim.pml with four attempts, which two nodes handle in turn. The
 * second node's ledger misses the records up to a moment of the model's choice: it started
 * later, or its memory was full. Time is coarser (window 1, no margin), each record is sent
 * once, and an attempt is only given up because of its verdict or its age.
 *
 * Guards: NO_BLIND, NO_LOSERS; see claim.pml.
 *
 * spin -a claim_readers.pml && cc -O2 -DSAFETY -o pan pan.c && ./pan -E -m100000
 */

#define READERS
#include "claim.pml"
