package org.crocuspost.platform.http;

import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Address of a service of the platform.
 *
 * @param base the address without a slash at its end, for example
 * {@code http://10.0.0.1:7100}
 */
public record PlatformUrl(URI base) {

	public PlatformUrl {
		if (base.getHost() == null || !"http".equals(base.getScheme())) {
			throw new IllegalArgumentException("not an HTTP address: " + base);
		}
	}

	/**
	 * Creates an address.
	 * @param base the address as text
	 * @return the address
	 */
	public static PlatformUrl of(String base) {
		return new PlatformUrl(URI.create(base.endsWith("/") ? base.substring(0, base.length() - 1) : base));
	}

	/**
	 * Returns the address of a resource.
	 * @param path the path, which starts with a slash
	 * @return the address
	 */
	public URI resolve(String path) {
		return URI.create(this.base + path);
	}

	/**
	 * Returns the address of a resource with one query parameter.
	 * @param path the path, which starts with a slash
	 * @param parameter the name of the parameter
	 * @param value the value of the parameter
	 * @return the address
	 */
	public URI resolve(String path, String parameter, String value) {
		return URI.create(this.base + path + "?" + parameter + "=" + URLEncoder.encode(value, StandardCharsets.UTF_8));
	}

}
