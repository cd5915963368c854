/**
 * Sends requests to endpoints on behalf of an entry: retries within a budget, hedging,
 * idempotency keys, and the outcome of attempts whose connection was lost.
 */
@NullMarked
package org.crocuspost.retry;

import org.jspecify.annotations.NullMarked;
