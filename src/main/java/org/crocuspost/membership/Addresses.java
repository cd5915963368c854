package org.crocuspost.membership;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

import io.netty.util.NetUtil;

/**
 * Formats and parses addresses that consist of an IP address and a port, without name
 * resolution.
 */
public final class Addresses {

	private static final int MAXIMUM_PORT = 65_535;

	private Addresses() {
	}

	/**
	 * Formats an address.
	 * @param address the address
	 * @return the IP address and the port, separated by a colon
	 */
	public static String format(InetSocketAddress address) {
		return NetUtil.toSocketAddressString(address);
	}

	/**
	 * Parses an address.
	 * @param text an IP address and a port, separated by a colon
	 * @return the address, or empty if the text is not a valid address
	 */
	public static Optional<InetSocketAddress> parse(String text) {
		int colon = text.lastIndexOf(':');
		byte[] bytes = (colon > 0) ? NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon)) : null;
		if (bytes == null || !text.substring(colon + 1).matches("[0-9]{1,5}")) {
			return Optional.empty();
		}
		int port = Integer.parseInt(text.substring(colon + 1));
		try {
			return (port < 1 || port > MAXIMUM_PORT) ? Optional.empty()
					: Optional.of(new InetSocketAddress(InetAddress.getByAddress(bytes), port));
		}
		catch (UnknownHostException ex) {
			return Optional.empty();
		}
	}

}
