/**
 * Randomized soak test. Runs the real programs as processes on one machine against a
 * stand-in store and stand-in workers that implement the platform's protocol. Faults are
 * injected from outside the programs, and the guarantees are checked from what callers
 * and workers observe.
 */
@org.jspecify.annotations.NullMarked
package org.crocuspost.soak;
