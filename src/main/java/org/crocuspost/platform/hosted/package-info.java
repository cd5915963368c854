/**
 * Adapts crocuspost to the hosting platform: decodes the platform's settings and messages
 * into crocuspost types and calls the platform's APIs. The names that the platform uses
 * occur in no other package.
 */
@NullMarked
package org.crocuspost.platform.hosted;

import org.jspecify.annotations.NullMarked;
