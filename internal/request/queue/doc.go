// Package queue divides the slots of one service among teams by weighted fair queueing on measured slot time, and refuses requests that would probably miss their deadline.
package queue
