/**
 * Provides a small batch deployment for tests and benchmarks. It runs in virtual time on
 * stand-ins, which are in-memory replacements of the platform services.
 */
@NullMarked
package org.crocuspost.bench.batch;

import org.jspecify.annotations.NullMarked;
