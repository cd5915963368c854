/**
 * The entry's view of the endpoints and the choice among them.
 */
@NullMarked
package org.crocuspost.routing;

import org.jspecify.annotations.NullMarked;
