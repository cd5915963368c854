/**
 * Measures the distribution of release notes from entries to simulated agents. All
 * processes run in one JVM.
 */
@NullMarked
package org.crocuspost.bench.distribution;

import org.jspecify.annotations.NullMarked;
