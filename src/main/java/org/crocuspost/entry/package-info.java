/**
 * The HTTP server for callers.
 */
@NullMarked
package org.crocuspost.entry;

import org.jspecify.annotations.NullMarked;
