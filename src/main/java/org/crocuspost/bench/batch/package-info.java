/**
 * Batch work on stand-ins in virtual time: a small deployment for tests and benchmarks.
 */
@NullMarked
package org.crocuspost.bench.batch;

import org.jspecify.annotations.NullMarked;
