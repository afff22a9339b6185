package org.guavahatch.gateway

import java.net.InetSocketAddress

/** Parses addresses of the form `IP:PORT`. */
object SocketAddresses {
    /** Parses [text]. The host must be an IP address; a host name would be looked up, which blocks the thread. */
    fun parse(text: String): InetSocketAddress =
        InetSocketAddress(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())
}
