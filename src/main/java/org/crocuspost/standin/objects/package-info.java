/**
 * In-memory stand-in for the platform's object store.
 */
@NullMarked
package org.crocuspost.standin.objects;

import org.jspecify.annotations.NullMarked;
