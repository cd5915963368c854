/**
 * Measures the overhead of control: the sizes of messages and rows and the processor time
 * of decisions.
 */
@NullMarked
package org.crocuspost.bench.capacity;

import org.jspecify.annotations.NullMarked;
