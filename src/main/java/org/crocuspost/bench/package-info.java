/**
 * Benchmarks, each a subcommand of one program.
 */
@NullMarked
package org.crocuspost.bench;

import org.jspecify.annotations.NullMarked;
