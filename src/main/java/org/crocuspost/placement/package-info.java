/**
 * Choice of the worker on which a task starts.
 */
@NullMarked
package org.crocuspost.placement;

import org.jspecify.annotations.NullMarked;
