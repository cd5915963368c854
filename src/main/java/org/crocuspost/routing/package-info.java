/**
 * Tracks the state of the endpoints that agents announce to an entry, and selects the
 * endpoint for each attempt of a request.
 */
@NullMarked
package org.crocuspost.routing;

import org.jspecify.annotations.NullMarked;
