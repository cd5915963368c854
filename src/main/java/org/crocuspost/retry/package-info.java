/**
 * Attempts of a request: outcomes, retry budget, fates after a silence, hedging.
 */
@NullMarked
package org.crocuspost.retry;

import org.jspecify.annotations.NullMarked;
