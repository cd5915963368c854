/**
 * HTTP server for addresses that clients reach which crocuspost does not control. All
 * that a connection may hold is bounded.
 */
@NullMarked
package org.crocuspost.httpserver;

import org.jspecify.annotations.NullMarked;
