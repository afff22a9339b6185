package org.guavahatch.gateway

import io.netty.util.NetUtil
import java.net.InetSocketAddress

/** Parses addresses of the form `IP:PORT`. */
object SocketAddresses {
    private val ports = 0..65_535

    /** Parses [text], which must be valid; port 0 is any free port. */
    fun parse(text: String): InetSocketAddress =
        requireNotNull(parseOrNull(text)) { "Not an IPv4 address and a port: $text" }

    /**
     * Parses [text]; null if it is no IPv4 address with a port. Host names are refused, since their lookup would block
     * the thread.
     */
    fun parseOrNull(text: String): InetSocketAddress? {
        val host = text.substringBeforeLast(':')
        val port = text.substringAfterLast(':').toIntOrNull()?.takeIf { it in ports } ?: return null
        return if (NetUtil.isValidIpV4Address(host)) InetSocketAddress(host, port) else null
    }
}
