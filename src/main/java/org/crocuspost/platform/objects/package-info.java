/**
 * The platform's object store: interface and adapters.
 */
@NullMarked
package org.crocuspost.platform.objects;

import org.jspecify.annotations.NullMarked;
