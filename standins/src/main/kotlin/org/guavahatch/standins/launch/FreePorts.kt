package org.guavahatch.standins.launch

import java.net.InetAddress
import java.net.ServerSocket

/** Allocates free ports of the loopback address. */
internal object FreePorts {
    private val allocated = HashSet<Int>()

    /** Returns a free port that this process has not allocated before. */
    @Synchronized
    fun next(): Int {
        while (true) {
            val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
            if (allocated.add(port)) return port
        }
    }
}
