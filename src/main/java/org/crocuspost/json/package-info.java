/**
 * Reading and writing of JSON with comments.
 */
@NullMarked
package org.crocuspost.json;

import org.jspecify.annotations.NullMarked;
