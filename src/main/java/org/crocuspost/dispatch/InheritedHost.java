package org.crocuspost.dispatch;

/**
 * A host with runs that a former leader has recorded and that no report has confirmed or
 * ended yet.
 *
 * @param host the name of the host
 * @param runs the number of these runs
 * @param reported whether the agent of the host has reported to this leader
 */
public record InheritedHost(String host, int runs, boolean reported) {

}
