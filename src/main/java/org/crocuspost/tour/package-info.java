/**
 * Provides the tour, a self-check of a local deployment. It sends the requests of callers
 * and operators in a fixed scenario and checks the guarantees of the system against what
 * callers, endpoints and workers recorded.
 */
@NullMarked
package org.crocuspost.tour;

import org.jspecify.annotations.NullMarked;
