/**
 * Adapter for the hosting platform: decodes its settings and messages into the types of
 * crocuspost and makes its calls. Its names appear nowhere else.
 */
@NullMarked
package org.crocuspost.platform.hosted;

import org.jspecify.annotations.NullMarked;
