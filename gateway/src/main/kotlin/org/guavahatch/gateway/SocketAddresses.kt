package org.guavahatch.gateway

import java.net.InetSocketAddress

/** Addresses written as `IP:PORT`. */
object SocketAddresses {
    /** Reads [text]; names are not looked up. */
    fun parse(text: String): InetSocketAddress =
        InetSocketAddress(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())
}
