/**
 * Benchmarks of the request path over loopback sockets, with ratios in one run.
 */
@NullMarked
package org.crocuspost.bench.request;

import org.jspecify.annotations.NullMarked;
