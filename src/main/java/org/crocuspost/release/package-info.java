/**
 * Release notes, by which operators change the configuration: reading, checking, applying
 * and accepting them, and comparing configurations.
 */
@NullMarked
package org.crocuspost.release;

import org.jspecify.annotations.NullMarked;
