/**
 * The HTTP server of the entry, the process that receives the requests of callers. It
 * finds the service of a request and responds with the endpoint's response or an error,
 * and with a verdict on whether the request has run.
 */
@NullMarked
package org.crocuspost.entry;

import org.jspecify.annotations.NullMarked;
