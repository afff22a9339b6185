package org.guavahatch.standins.launch

import java.net.InetAddress
import java.net.ServerSocket

/** Finds ports that nothing listens on. */
internal object FreePorts {
    private val given = HashSet<Int>()

    /** A free port that was not given out before. */
    @Synchronized
    fun next(): Int {
        while (true) {
            val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
            if (given.add(port)) return port
        }
    }
}
