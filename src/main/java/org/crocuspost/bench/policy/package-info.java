/**
 * Benchmark of the decisions on batch work beside services, in virtual time and without
 * processes or network.
 */
@NullMarked
package org.crocuspost.bench.policy;

import org.jspecify.annotations.NullMarked;
