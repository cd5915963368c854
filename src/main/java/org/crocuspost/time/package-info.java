/**
 * Clocks and timers that are injected into the classes that use time, so that tests and
 * benchmarks replace them by virtual time.
 */
@NullMarked
package org.crocuspost.time;

import org.jspecify.annotations.NullMarked;
