/**
 * HTTP messages as they pass through the processes, and what may be passed on of them.
 */
@NullMarked
package org.crocuspost.http;

import org.jspecify.annotations.NullMarked;
