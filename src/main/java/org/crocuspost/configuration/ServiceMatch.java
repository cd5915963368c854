package org.crocuspost.configuration;

/**
 * Selects the requests of a service by host and path.
 *
 * @param host the host that requests name, without port; "*" matches any host
 * @param pathPrefix the prefix of the path; it matches only up to a slash or the end of
 * the path
 */
public record ServiceMatch(String host, String pathPrefix) {

	/**
	 * Returns whether a request belongs to the service.
	 * @param requestHost the host of the request without port
	 * @param path the path of the request
	 * @return true if host and path match
	 */
	public boolean matches(String requestHost, String path) {
		if (!this.host.equals("*") && !this.host.equalsIgnoreCase(requestHost)) {
			return false;
		}
		if (!path.startsWith(this.pathPrefix)) {
			return false;
		}
		return path.length() == this.pathPrefix.length() || this.pathPrefix.endsWith("/")
				|| path.charAt(this.pathPrefix.length()) == '/';
	}

}
