/**
 * Benchmark of what control costs: sizes of messages and rows, processor time of
 * decisions.
 */
@NullMarked
package org.crocuspost.bench.capacity;

import org.jspecify.annotations.NullMarked;
