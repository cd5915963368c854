/**
 * Benchmarks the request path over loopback sockets. Results are compared as ratios
 * within one run.
 */
@NullMarked
package org.crocuspost.bench.request;

import org.jspecify.annotations.NullMarked;
