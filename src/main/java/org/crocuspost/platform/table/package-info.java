/**
 * The platform's transactional table service: interface and adapters.
 */
@NullMarked
package org.crocuspost.platform.table;

import org.jspecify.annotations.NullMarked;
