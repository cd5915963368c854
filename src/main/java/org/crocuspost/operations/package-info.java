/**
 * The operators' HTTP interface: release notes, status and views.
 */
@NullMarked
package org.crocuspost.operations;

import org.jspecify.annotations.NullMarked;
