/**
 * The configuration in force: an immutable, versioned snapshot of the services, batch
 * jobs and quotas that release notes have declared.
 */
@NullMarked
package org.crocuspost.configuration;

import org.jspecify.annotations.NullMarked;
