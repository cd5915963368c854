/**
 * Performs admission control for one endpoint in its agent: limits the requests that run
 * and wait there, drains the endpoint, and retains the outcomes and answers of attempts
 * so that entries can fetch them later.
 */
@NullMarked
package org.crocuspost.admission;

import org.jspecify.annotations.NullMarked;
