package org.crocuspost.configuration;

/**
 * Selects the requests of a service.
 *
 * @param host the host that requests name, without port; "*" for any
 * @param pathPrefix the prefix of the path, which ends at a slash or at the end
 */
public record ServiceMatch(String host, String pathPrefix) {

	/**
	 * Says whether a request belongs to the service.
	 * @param requestHost the host of the request without port
	 * @param path the path of the request
	 * @return true if it does
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
