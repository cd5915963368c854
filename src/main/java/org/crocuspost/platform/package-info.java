/**
 * The platform on which crocuspost runs: table service, object store and workers.
 */
@NullMarked
package org.crocuspost.platform;

import org.jspecify.annotations.NullMarked;
