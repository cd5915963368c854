/**
 * Defines the interface of the platform's object store, which holds immutable objects,
 * and its HTTP client.
 */
@NullMarked
package org.crocuspost.platform.objects;

import org.jspecify.annotations.NullMarked;
