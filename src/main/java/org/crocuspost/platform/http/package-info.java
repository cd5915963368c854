/**
 * What the HTTP adapters of the platform share: a blocking client and the JSON bodies.
 */
@NullMarked
package org.crocuspost.platform.http;

import org.jspecify.annotations.NullMarked;
