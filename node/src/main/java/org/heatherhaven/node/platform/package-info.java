/** The platform's object API: conditional writes, reads, and reads that wait. */
package org.heatherhaven.node.platform;
