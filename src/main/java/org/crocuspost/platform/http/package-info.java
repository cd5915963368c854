/**
 * Provides what the HTTP adapters of the platform services share: a blocking and an
 * event-loop HTTP client, and the JSON request and response bodies.
 */
@NullMarked
package org.crocuspost.platform.http;

import org.jspecify.annotations.NullMarked;
