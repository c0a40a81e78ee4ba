/** Commands that run a process of the system or a stand-in. */
package org.heatherhaven.cli.run;
