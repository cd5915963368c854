/**
 * HTTP requests, responses and headers that are forwarded between callers and endpoints,
 * and the rules for which headers are forwarded.
 */
@NullMarked
package org.crocuspost.http;

import org.jspecify.annotations.NullMarked;
