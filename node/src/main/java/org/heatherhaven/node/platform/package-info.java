/** Client of the platform's object API (conditional writes, reads, lists that wait) and the effects that use it. */
package org.heatherhaven.node.platform;
