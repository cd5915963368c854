package org.crocuspost.platform.http;

import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Base URL of a service of the platform.
 *
 * @param base the URL without a trailing slash, for example {@code http://10.0.0.1:7100}
 */
public record PlatformUrl(URI base) {

	public PlatformUrl {
		if (base.getHost() == null || !"http".equals(base.getScheme())) {
			throw new IllegalArgumentException("not an HTTP URL with a host: " + base);
		}
	}

	/**
	 * Parses a URL and removes a trailing slash.
	 * @param base the URL as text
	 * @return the URL
	 */
	public static PlatformUrl of(String base) {
		return new PlatformUrl(URI.create(base.endsWith("/") ? base.substring(0, base.length() - 1) : base));
	}

	/**
	 * Returns the URL of a resource.
	 * @param path the path, which starts with a slash
	 * @return the URL
	 */
	public URI resolve(String path) {
		return URI.create(this.base + path);
	}

	/**
	 * Returns the URL of a resource with one query parameter.
	 * @param path the path, which starts with a slash
	 * @param parameter the name of the parameter
	 * @param value the value of the parameter, not yet encoded
	 * @return the URL
	 */
	public URI resolve(String path, String parameter, String value) {
		return URI.create(this.base + path + "?" + parameter + "=" + URLEncoder.encode(value, StandardCharsets.UTF_8));
	}

}
