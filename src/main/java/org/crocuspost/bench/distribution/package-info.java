/**
 * Benchmark of the distribution of release notes to small stand-in agents.
 */
@NullMarked
package org.crocuspost.bench.distribution;

import org.jspecify.annotations.NullMarked;
