/**
 * Provides the command line program of the benchmarks. Each benchmark registered with it
 * is a subcommand.
 */
@NullMarked
package org.crocuspost.bench;

import org.jspecify.annotations.NullMarked;
