/**
 * Benchmark that compares policies for running batch tasks on the workers of
 * latency-critical services. It simulates a deployment in virtual time, without processes
 * or network.
 */
@NullMarked
package org.crocuspost.bench.policy;

import org.jspecify.annotations.NullMarked;
